/**
 * Warm standby. For each role (leadership or the ownership of a partition) the active controller
 * streams the decisions that exist only in its memory to its successor, which applies them to a
 * replica and starts from that replica when it takes over. The durable record and the claim's stamp
 * decide which controller may issue orders; nothing in this package is evidence about the state of
 * a task. See docs/STANDBY.md.
 */
package org.baygw.control.standby;
