/** Small stand-ins for the platform, used by the demo, the tests and the bench. */
package org.basilswitch.standin;
