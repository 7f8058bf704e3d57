package org.wigeonwharf.config;

import java.time.Duration;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.Tier;

/**
 * A ClassSpec is one published service class.
 *
 * @param id its name
 * @param tier its tier
 * @param firstTokenTarget wanted time from arrival to the first byte of the answer
 * @param tokenGapTarget wanted time between tokens
 * @param deadline longest wait for a slot before the request is refused
 * @param share reserved part of a shard's slot time while the class has waiters, 0 to 1
 * @param waitingPlaces places in a shard's queue that only this class may take, at least 1
 * @param estimatedTokens output length assumed before any was observed
 * @param spill true if other failure domains may serve it
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
