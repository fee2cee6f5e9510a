/** Client for the platform's store over the etcd v3 JSON gateway. */
package org.basilswitch.daemon.store;
