#include "Log.h"

#include "LogBudget.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>
#include <chrono>
#include <ctime>
#include <iostream>
#include <mutex>
#include <optional>
#include <poll.h>
#include <string>
#include <unistd.h>
#include <utility>

namespace borageslip {

namespace {

    constexpr std::array<std::pair<Severity, std::string_view>, 4> severityNames { {
        { Severity::Debug, "debug" },
        { Severity::Info, "info" },
        { Severity::Warning, "warning" },
        { Severity::Error, "error" },
    } };

    std::atomic<Severity> s_minimum { Severity::Info };
    std::atomic<uint64_t> s_dropped { 0 };

    /** Budget of the process's lines; absent when they are not bounded. */
    struct SharedBudget {
        std::mutex mutex;
        std::optional<LogBudget> budget;
    };

    SharedBudget& sharedBudget()
    {
        static SharedBudget s_budget;
        return s_budget;
    }

    /** Writes to standard output without waiting for its reader. */
    class NonBlockingOutput : public boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::synchronized_feeding> {
    public:
        static void consume(const boost::log::record_view&, const string_type& line)
        {
            // A write of at most PIPE_BUF bytes to a writable pipe is taken whole and at once.
            const auto text = line.substr(0, maxLine) + "\n";
            pollfd output { STDOUT_FILENO, POLLOUT, 0 };
            const bool isWritable = ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
            if (!isWritable || ::write(STDOUT_FILENO, text.data(), text.size()) < 0)
                ++s_dropped;
        }

    private:
        static constexpr size_t maxLine = 4000;
    };

    boost::shared_ptr<boost::log::sinks::sink> makeSink(LogOptions::Destination destination)
    {
        namespace sinks = boost::log::sinks;
        if (destination == LogOptions::Destination::StandardOutput)
            return boost::make_shared<sinks::synchronous_sink<NonBlockingOutput>>(boost::make_shared<NonBlockingOutput>());
        auto backend = boost::make_shared<sinks::text_ostream_backend>();
        backend->add_stream(boost::shared_ptr<std::ostream>(&std::cerr, [](auto*) {}));
        backend->auto_flush(true);
        return boost::make_shared<sinks::synchronous_sink<sinks::text_ostream_backend>>(backend);
    }

    std::string& processName()
    {
        static std::string s_name;
        return s_name;
    }

    std::string timestamp()
    {
        const auto now = std::chrono::system_clock::now();
        const auto seconds = std::chrono::floor<std::chrono::seconds>(now);
        const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now - seconds).count();
        const std::time_t time = std::chrono::system_clock::to_time_t(seconds);
        std::tm parts {};
        gmtime_r(&time, &parts);
        std::array<char, 40> text {};
        const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
        const auto fraction = std::to_string(1000 + millis).substr(1);
        return std::string(text.data(), length) + "." + fraction + "Z";
    }

}

void initialiseLog(Severity minimum, std::string_view process, const LogOptions& options)
{
    s_minimum = minimum;
    processName() = process;
    if (options.linesPerSecond > 0)
        sharedBudget().budget.emplace(options.linesPerSecond);
    boost::log::core::get()->remove_all_sinks();
    boost::log::core::get()->add_sink(makeSink(options.destination));
}

uint64_t droppedLogLines()
{
    return s_dropped;
}

Severity severityFromName(std::string_view name)
{
    for (const auto& [severity, text] : severityNames) {
        if (text == name)
            return severity;
    }
    return Severity::Info;
}

bool isLogged(Severity severity)
{
    return severity >= s_minimum.load(std::memory_order_relaxed);
}

namespace {

    void writeLine(Severity severity, std::string_view event, const nlohmann::json& fields)
    {
        static boost::log::sources::severity_logger_mt<Severity> s_logger;
        nlohmann::ordered_json line {
            { "time", timestamp() },
            { "level", severityNames.at(static_cast<size_t>(severity)).second },
            { "event", event },
        };
        if (!processName().empty())
            line["process"] = processName();
        for (const auto& [name, field] : fields.items())
            line[name] = field;
        BOOST_LOG_SEV(s_logger, severity) << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    /** Whether the line fits the budget; also writes how many lines did not. */
    bool admitLine(Severity severity, std::string_view event)
    {
        auto& shared = sharedBudget();
        std::map<std::string, uint64_t> leftOut;
        bool isAdmitted = true;
        {
            const std::lock_guard lock(shared.mutex);
            if (!shared.budget)
                return true;
            const auto now = std::chrono::steady_clock::now();
            isAdmitted = shared.budget->admit(severity, event, now);
            leftOut = shared.budget->takeLeftOut(now);
        }
        if (!leftOut.empty())
            writeLine(Severity::Warning, "lines-left-out", { { "counts", leftOut }, { "dropped", s_dropped.load() } });
        return isAdmitted;
    }

}

void logEvent(Severity severity, std::string_view event, const nlohmann::json& fields)
{
    if (isLogged(severity) && admitLine(severity, event))
        writeLine(severity, event, fields);
}

}
