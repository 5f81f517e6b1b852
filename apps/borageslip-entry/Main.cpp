#include <platform/PlatformInstance.h>

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

constexpr double logLinesPerSecond = 5; ///< Limit for each event name.

enum ExitCode {
    Success = 0,
    InvalidSettings = 2,
    CannotListen = 3,
};

borageslip::Result<borageslip::platform::PlatformSettings> readSettings(const std::string& path)
{
    if (path.empty())
        return borageslip::Error { borageslip::ErrorKind::InvalidSettings, "no settings file: pass --settings or set BORAGESLIP_CONFIG" };
    auto text = borageslip::readFile(path);
    if (!borageslip::isOk(text))
        return borageslip::error(text);
    return borageslip::platform::parseSettings(borageslip::value(text));
}

/** Ignores SIGHUP, which ends a process by default, until SignalHandler takes over. */
void ignoreHangup(int /*count*/, char** /*arguments*/, char** /*environment*/)
{
    std::signal(SIGHUP, SIG_IGN);
}

// Runs before the constructors of the shared libraries, which take the most time of a start.
[[gnu::section(".preinit_array"), gnu::used]] void (*const s_earlyStart)(int, char**, char**) = ignoreHangup;

/** Starts a planned stop on SIGTERM or SIGINT, and validates the settings file on SIGHUP.
    Keeps the signals that come before the event loop runs, and handles them once it does. */
class SignalHandler {
public:
    SignalHandler(boost::asio::io_context& context, const borageslip::Clock& clock, std::string settingsPath)
        : m_signals(context, SIGTERM, SIGINT, SIGHUP)
        , m_clock(clock)
        , m_settingsPath(std::move(settingsPath))
    {
        borageslip::recordSignalArrival(SIGTERM);
    }

    /** Begins to handle signals. The instance must outlive the event loop. */
    void start(borageslip::platform::PlatformInstance& instance)
    {
        m_instance = &instance;
        awaitSignal();
    }

private:
    void awaitSignal()
    {
        m_signals.async_wait([this](boost::system::error_code failure, int signal) {
            if (failure)
                return;
            if (signal == SIGHUP)
                checkSettings();
            else
                m_instance->beginStop(borageslip::signalArrival().value_or(m_clock.now()));
            awaitSignal();
        });
    }

    void checkSettings()
    {
        const auto settings = readSettings(m_settingsPath);
        if (isOk(settings))
            borageslip::logEvent(borageslip::Severity::Info, "settings-checked", { { "detail", "the settings file is valid; changes take effect after a restart" } });
        else
            borageslip::logEvent(borageslip::Severity::Error, "settings-invalid", { { "detail", borageslip::error(settings).detail } });
    }

    boost::asio::signal_set m_signals;
    const borageslip::Clock& m_clock;
    borageslip::platform::PlatformInstance* m_instance = nullptr;
    std::string m_settingsPath;
};

}

int main(int argc, char** argv)
{
    CLI::App app { "borageslip-entry: router instance for a platform that provides the key-value store and the list of backend servers" };
    app.set_version_flag("--version", BORAGESLIP_VERSION);
    app.footer("Exit codes: 0 planned stop, 2 invalid settings, 3 an address cannot be used.");
    std::string settingsPath = borageslip::platform::settingsPathFromEnvironment();
    std::string logLevel = "info";
    bool isCheckOnly = false;
    app.add_option("--settings", settingsPath, "Settings file written by the platform");
    app.add_option("--log-level", logLevel, "debug, info, warning or error")->check(CLI::IsMember({ "debug", "info", "warning", "error" }));
    app.add_flag("--check-settings", isCheckOnly, "Validate the settings file and exit");
    CLI11_PARSE(app, argc, argv);

    auto settings = readSettings(settingsPath);
    if (!borageslip::isOk(settings)) {
        std::cerr << borageslip::error(settings).detail << "\n";
        return InvalidSettings;
    }
    if (isCheckOnly)
        return Success;

    boost::asio::io_context context(1);
    const borageslip::BootClock clock;
    SignalHandler signals(context, clock, settingsPath);
    std::signal(SIGPIPE, SIG_IGN);
    borageslip::initialiseLog(borageslip::severityFromName(logLevel), "borageslip-entry/" + borageslip::value(settings).instanceName, { borageslip::LogOptions::Destination::StandardOutput, logLinesPerSecond });
    borageslip::platform::PlatformInstance instance(context, clock, borageslip::value(std::move(settings)));
    if (const auto started = instance.start(); !borageslip::isOk(started)) {
        borageslip::logEvent(borageslip::Severity::Error, "start-failed", { { "detail", borageslip::error(started).detail } });
        return CannotListen;
    }
    signals.start(instance);
    while (!context.stopped()) {
        try {
            context.run();
        } catch (...) {
            borageslip::logUnexpected("event loop", std::current_exception());
        }
    }
    // Requests still open when the grace period ends refer to the instance, so exit without running destructors.
    std::quick_exit(Success);
}
