/** The client side towards backend servers: one exchange per attempt. */
package org.basilswitch.daemon.worker;
