/**
 * Warm standby. For each role (leadership, ownership of a partition) the active controller streams
 * the decisions that live in its memory only to the controller that would succeed it, which applies
 * them to a replica and starts from there when it takes the role over. The durable record and the
 * ownership's stamp decide who may give orders; nothing in this package proves anything about a
 * task. See docs/STANDBY.md.
 */
package org.baygw.control.standby;
