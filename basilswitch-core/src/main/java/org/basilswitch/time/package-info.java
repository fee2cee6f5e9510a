/** Clock and timer interfaces that are passed to all components, so that none reads the system time directly. */
package org.basilswitch.time;
