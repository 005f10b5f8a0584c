package org.baygw.control.model;

/** A rental that is under way, as its booking's key has it. */
public record Rental(String type, String zone, boolean spot, int count) {}
