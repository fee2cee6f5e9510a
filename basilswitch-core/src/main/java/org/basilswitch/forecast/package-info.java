/** What is known about the coming demand of pools, from observed arrivals. */
package org.basilswitch.forecast;
