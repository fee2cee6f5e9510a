/** TLS configuration from PEM files, reloaded when they change. */
package org.basilswitch.daemon.tls;
