/** Waiting of work items for a place near their data or their group (delay scheduling). */
package org.basilswitch.locality;
