/** Configuration records as they are stored, and the immutable view of them that an entry host works with. */
package org.basilswitch.configuration;
