/** Messages between entry hosts and the link that carries them. */
package org.basilswitch.peer;
