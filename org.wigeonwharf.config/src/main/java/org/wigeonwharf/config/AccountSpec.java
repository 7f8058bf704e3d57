package org.wigeonwharf.config;

import java.util.Set;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;

/**
 * An AccountSpec is one published client account.
 *
 * @param id its name
 * @param tokenHashes lower-case hex SHA-256 of its bearer tokens
 * @param classes the classes it may use
 * @param defaultClass the class of a request that names none
 * @param repeatable whether its requests may be repeated unless a rule or header says otherwise
 * @param weight its part among accounts of the same tier, above 0
 * @param limits its limits over the whole fleet
 */
public record AccountSpec(
    AccountId id,
    Set<String> tokenHashes,
    Set<ClassId> classes,
    ClassId defaultClass,
    boolean repeatable,
    double weight,
    AccountLimits limits) {}
