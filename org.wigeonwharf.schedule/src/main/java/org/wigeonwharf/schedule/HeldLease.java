package org.wigeonwharf.schedule;

import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.ServerId;

/**
 * A lease in use that a router reports to a new scheduler.
 *
 * @param request the request
 * @param server the backend server that runs the request
 * @param serviceClass the request's class
 * @param account the client account
 */
public record HeldLease(
    RequestId request, ServerId server, ClassId serviceClass, AccountId account) {}
