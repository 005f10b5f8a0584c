package org.baygw.control.model;

/** A rental in progress, as stored under its booking's key. */
public record Rental(String type, String zone, boolean spot, int count) {}
