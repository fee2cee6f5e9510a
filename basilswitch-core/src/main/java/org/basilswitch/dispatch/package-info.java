/** Attempts at backend servers, retries, request claims and outcomes. */
package org.basilswitch.dispatch;
