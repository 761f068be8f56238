// Numbered result codes, visible to callers, operators and in logs.

#pragma once

#include <string_view>

namespace ibiswall {

/// A result code. The hundreds digit is the class: 1 bad input, 2 not run, 3 may have run, 4 ran and failed,
/// 5 configuration, 6 settings and command line.
enum class Code {
    Ok = 0,

    BadRequest = 100,
    TooLarge = 101,
    TooManyTasks = 102,
    Unauthorized = 103,
    UnknownKind = 104,
    UnknownJob = 105,
    ExpiredId = 106,
    BodyDiffers = 107,
    WrongMethod = 108,
    WrongProtocol = 109,
    BadFrame = 110,
    UnknownPath = 111,
    TooManyConnections = 112,

    Overloaded = 200,
    QuotaExceeded = 201,
    DeadlinePassed = 202,
    Cancelled = 203,
    NeverRunnable = 204,
    OutOfService = 205,
    NoLease = 206,
    TargetDraining = 207,
    ConnectRefused = 208,
    DuplicateStart = 209,
    Draining = 210,
    NotReady = 211,

    ConnectionLost = 300,
    OwnerGone = 301,
    CallTimeout = 302,
    OwnerUnreachable = 303,
    AnswerDropped = 304,
    HandlerFailed = 305,

    TargetFailed = 400,
    TaskFailed = 401,

    StalePlan = 500,
    LostRace = 501,
    PlatformDown = 502,
    NoMajority = 503,
    Unconfirmed = 504,
    NoEffect = 505,
    BadIntent = 506,
    Corrupt = 507,

    BadSettings = 600,
    BadUsage = 601,
    CannotListen = 602,
    CannotConnect = 603,
};

/// Short description of a code, for logs and answers.
std::string_view describe(Code code);

/// Whether a code guarantees that the task has not started and will not start later.
bool meansNotRun(Code code);

} // namespace ibiswall
