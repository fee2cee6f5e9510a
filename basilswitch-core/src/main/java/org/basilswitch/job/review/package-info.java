/** Offline review of a job configuration: entries without effect, contradicting limits, and what a change alters. */
package org.basilswitch.job.review;
