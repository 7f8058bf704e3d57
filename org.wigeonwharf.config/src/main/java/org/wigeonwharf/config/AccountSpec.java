package org.wigeonwharf.config;

import java.util.Set;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;

/**
 * Describes one client account of a published configuration.
 *
 * @param id the account's name
 * @param tokenHashes lower-case hex SHA-256 of each bearer token
 * @param classes the service classes that it may use
 * @param defaultClass the class of a request that specifies none
 * @param repeatable whether its requests may be repeated, unless a path rule or header overrides it
 * @param weight its relative share among accounts of the same tier, above 0
 * @param limits its fleet-wide limits
 */
public record AccountSpec(
    AccountId id,
    Set<String> tokenHashes,
    Set<ClassId> classes,
    ClassId defaultClass,
    boolean repeatable,
    double weight,
    AccountLimits limits) {}
