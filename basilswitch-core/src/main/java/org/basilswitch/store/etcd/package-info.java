/** Messages of the published etcd v3 JSON mapping, as the adapter and the stand-in store exchange them. */
package org.basilswitch.store.etcd;
