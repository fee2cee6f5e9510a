/** The assembly of one entry host from its slices, without input or output of its own. */
package org.basilswitch.entry;
