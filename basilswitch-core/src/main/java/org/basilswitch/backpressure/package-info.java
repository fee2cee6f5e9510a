/** Decides which connections give way when callers hold more memory or descriptors of a process than it can spare. */
package org.basilswitch.backpressure;
