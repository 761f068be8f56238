// Text log based on log4cplus.

#include <ibiswall/log.hpp>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <memory>
#include <string>

namespace ibiswall {

namespace {

log4cplus::LogLevel toLibrary(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

void initialize()
{
    static const log4cplus::Initializer initializer;
}

} // namespace

void startLog(LogLevel level)
{
    initialize();
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q}Z %-5p %c: %m%n"));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(toLibrary(level));
}

void log(LogLevel level, std::string_view component, std::string_view message)
{
    initialize();
    log4cplus::Logger::getInstance(std::string(component)).log(toLibrary(level), std::string(message));
}

} // namespace ibiswall
