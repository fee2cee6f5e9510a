/** Control cost of an entry host, measured on the core's own classes at several sizes: docs/CAPACITY.md's figures. */
package org.basilswitch.bench.slopes;
