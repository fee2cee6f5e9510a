/** Choice of a backend server for an attempt. */
package org.basilswitch.placement;
