/** The stand-in for a backend server: runs requests and tasks, injects faults and logs its executions. */
package org.basilswitch.standin.worker;
