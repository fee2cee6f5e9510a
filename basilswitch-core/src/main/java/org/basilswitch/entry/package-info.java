/** Assembly of one entry host from its services, without input or output of its own. */
package org.basilswitch.entry;
