#include <borageslip_daemon/borageslip_daemon.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <thread>

namespace {

enum ExitCode {
    Success = 0,
    InvalidSettings = 2,
    CannotListen = 3,
};

/** Waits on a separate thread for SIGTERM or SIGINT and begins a planned stop. Further signals have no effect. */
class StopSignals {
public:
    /** Blocks the signals for the calling thread and all threads that it starts later. */
    StopSignals()
    {
        sigemptyset(&m_signals);
        sigaddset(&m_signals, SIGTERM);
        sigaddset(&m_signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
    }

    void watch(borageslip::Daemon& daemon)
    {
        m_thread = std::jthread([this, &daemon](const std::stop_token& stop) {
            const timespec interval { 0, 200'000'000 };
            while (!stop.stop_requested()) {
                if (sigtimedwait(&m_signals, nullptr, &interval) > 0)
                    daemon.beginStop();
            }
        });
    }

private:
    sigset_t m_signals {};
    std::jthread m_thread;
};

}

int main(int argc, char** argv)
{
    CLI::App app { "borageslipd: router daemon of the borageslip fleet" };
    app.set_version_flag("--version", BORAGESLIP_VERSION);
    app.footer("Exit codes: 0 planned stop, 2 invalid settings, 3 an address cannot be used.");
    std::string settingsPath;
    bool isCheckOnly = false;
    app.add_option("--settings", settingsPath, "Settings file (JSON, schemas/daemon.schema.json)")->required();
    app.add_flag("--check-settings", isCheckOnly, "Check the settings file and exit");
    CLI11_PARSE(app, argc, argv);

    auto settings = borageslip::DaemonSettings::read(settingsPath);
    if (!borageslip::isOk(settings)) {
        std::cerr << borageslip::error(settings).detail << "\n";
        return InvalidSettings;
    }
    if (isCheckOnly)
        return Success;

    StopSignals signals;
    borageslip::initialiseLog(borageslip::severityFromName(borageslip::value(settings).logLevel), "borageslipd/" + borageslip::value(settings).id);
    const borageslip::SystemClock clock;
    borageslip::Daemon daemon(borageslip::value(std::move(settings)), clock);
    if (const auto started = daemon.start(); !borageslip::isOk(started)) {
        borageslip::logEvent(borageslip::Severity::Error, "start-failed", { { "detail", borageslip::error(started).detail } });
        return CannotListen;
    }
    signals.watch(daemon);
    daemon.run();
    return Success;
}
