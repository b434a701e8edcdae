#pragma once

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

namespace cyclamenstair::standin {

/// Parses the options, calls `run` to start the stand-in, prints the port that `run` returns, and waits for SIGTERM or
/// SIGINT. Returns the exit status.
template <typename Run> int standInMain(int argc, char** argv, cxxopts::Options options, Run&& run)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    try {
        options.add_options()("port", "TCP port; 0 lets the system choose", cxxopts::value<int>()->default_value("0"))(
            "h,help", "Print this help");
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help();
            return 0;
        }
        std::cout << "port " << run(arguments) << std::endl;
        int received = 0;
        sigwait(&signals, &received);
        return 0;
    } catch (const std::exception& exception) {
        std::cerr << exception.what() << "\n";
        return 2;
    }
}

} // namespace cyclamenstair::standin
