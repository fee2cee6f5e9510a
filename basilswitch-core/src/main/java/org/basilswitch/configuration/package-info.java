/** Configuration records as the platform's store holds them, and the immutable view that an entry host acts on. */
package org.basilswitch.configuration;
