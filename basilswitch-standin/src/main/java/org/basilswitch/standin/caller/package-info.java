/** Stand-ins for callers that keep no limits. */
package org.basilswitch.standin.caller;
