/** A model of backend servers that run work items, with the rules that a scheduler must keep. */
package org.basilswitch.standin.jobs;
