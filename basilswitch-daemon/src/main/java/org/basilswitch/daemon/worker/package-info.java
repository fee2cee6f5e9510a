/** HTTP client for backend servers, with one exchange per attempt. */
package org.basilswitch.daemon.worker;
