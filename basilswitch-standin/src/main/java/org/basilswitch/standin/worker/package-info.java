/** The stand-in for a backend server: runs requests and tasks, misbehaves on demand and records what it ran. */
package org.basilswitch.standin.worker;
