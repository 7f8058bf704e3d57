package org.wigeonwharf.config;

import java.time.Duration;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.Tier;

/**
 * Describes one service class of a published configuration.
 *
 * @param id the class's name
 * @param tier its tier
 * @param firstTokenTarget latency objective from a request's arrival to the first byte of its
 *     answer
 * @param tokenGapTarget inter-token latency objective
 * @param deadline maximum wait for a slot before the request is refused
 * @param share fraction, from 0 to 1, of a shard's slot time that is reserved while the class has
 *     waiting requests
 * @param waitingPlaces places in a shard's queue reserved for this class, at least 1
 * @param estimatedTokens output length in tokens assumed until one has been observed
 * @param spill true if backend servers in other failure domains may run its requests
 */
public record ClassSpec(
    ClassId id,
    Tier tier,
    Duration firstTokenTarget,
    Duration tokenGapTarget,
    Duration deadline,
    double share,
    int waitingPlaces,
    int estimatedTokens,
    boolean spill) {}
