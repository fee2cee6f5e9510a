/** Messages of the etcd v3 JSON gateway, as exchanged by the store adapter and the stand-in store. */
package org.basilswitch.store.etcd;
