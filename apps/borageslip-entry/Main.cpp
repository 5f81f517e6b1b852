#include <platform/PlatformInstance.h>

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

constexpr double logLinesPerSecond = 5; ///< Of one kind of event.

enum ExitCode {
    Success = 0,
    InvalidSettings = 2,
    CannotListen = 3,
};

borageslip::Result<borageslip::platform::PlatformSettings> readSettings(const std::string& path)
{
    if (path.empty())
        return borageslip::Error { borageslip::ErrorKind::InvalidSettings, "no settings file: give --settings or set the platform's variable" };
    auto text = borageslip::readFile(path);
    if (!borageslip::isOk(text))
        return borageslip::error(text);
    return borageslip::platform::parseSettings(borageslip::value(text));
}

/** Ends the instance at SIGTERM and checks the settings file again at SIGHUP, until the event loop ends. */
class SignalHandler {
public:
    SignalHandler(boost::asio::io_context& context, borageslip::platform::PlatformInstance& instance, std::string settingsPath)
        : m_signals(context, SIGTERM, SIGINT, SIGHUP)
        , m_instance(instance)
        , m_settingsPath(std::move(settingsPath))
    {
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
                m_instance.beginStop();
            awaitSignal();
        });
    }

    void checkSettings()
    {
        const auto settings = readSettings(m_settingsPath);
        if (isOk(settings))
            borageslip::logEvent(borageslip::Severity::Info, "settings-checked", { { "detail", "changes take effect at the next start" } });
        else
            borageslip::logEvent(borageslip::Severity::Error, "settings-invalid", { { "detail", borageslip::error(settings).detail } });
    }

    boost::asio::signal_set m_signals;
    borageslip::platform::PlatformInstance& m_instance;
    std::string m_settingsPath;
};

}

int main(int argc, char** argv)
{
    CLI::App app { "borageslip-entry: instance of the borageslip fleet on a platform with its own store and list of backend servers" };
    app.set_version_flag("--version", BORAGESLIP_VERSION);
    app.footer("Exit codes: 0 planned stop, 2 invalid settings, 3 an address cannot be used.");
    std::string settingsPath = borageslip::platform::settingsPathFromEnvironment();
    std::string logLevel = "info";
    bool isCheckOnly = false;
    app.add_option("--settings", settingsPath, "Settings file as the platform writes it");
    app.add_option("--log-level", logLevel, "debug, info, warning or error")->check(CLI::IsMember({ "debug", "info", "warning", "error" }));
    app.add_flag("--check-settings", isCheckOnly, "Check the settings file and exit");
    CLI11_PARSE(app, argc, argv);

    auto settings = readSettings(settingsPath);
    if (!borageslip::isOk(settings)) {
        std::cerr << borageslip::error(settings).detail << "\n";
        return InvalidSettings;
    }
    if (isCheckOnly)
        return Success;

    std::signal(SIGPIPE, SIG_IGN);
    borageslip::initialiseLog(borageslip::severityFromName(logLevel), "borageslip-entry/" + borageslip::value(settings).instanceName, { borageslip::LogOptions::Destination::StandardOutput, logLinesPerSecond });
    const borageslip::BootClock clock;
    boost::asio::io_context context(1);
    borageslip::platform::PlatformInstance instance(context, clock, borageslip::value(std::move(settings)));
    if (const auto started = instance.start(); !borageslip::isOk(started)) {
        borageslip::logEvent(borageslip::Severity::Error, "start-failed", { { "detail", borageslip::error(started).detail } });
        return CannotListen;
    }
    const SignalHandler signals(context, instance, settingsPath);
    context.run();
    // Requests that are open at the end of the grace still refer to the instance, so nothing of it may be destroyed.
    std::quick_exit(Success);
}
