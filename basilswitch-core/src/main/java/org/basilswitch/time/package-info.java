/** Clock and timer interfaces that every slice is given instead of reading the system's time. */
package org.basilswitch.time;
