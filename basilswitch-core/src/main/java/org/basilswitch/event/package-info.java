/** Numbered log events and counters of the core. */
package org.basilswitch.event;
