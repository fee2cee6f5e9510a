/** TLS from PEM files that may be replaced while the process runs. */
package org.basilswitch.daemon.tls;
