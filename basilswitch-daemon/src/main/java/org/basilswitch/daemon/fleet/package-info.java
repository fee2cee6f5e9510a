/** The platform's worker hosts over HTTP, and the controllers of this entry host. */
package org.basilswitch.daemon.fleet;
