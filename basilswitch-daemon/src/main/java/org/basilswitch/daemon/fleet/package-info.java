/** HTTP client for the platform's worker hosts, and the pool controllers of this entry host. */
package org.basilswitch.daemon.fleet;
