/** The adapter of the platform's store over the published etcd v3 JSON mapping. */
package org.basilswitch.daemon.store;
