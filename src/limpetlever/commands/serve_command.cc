#include <glog/logging.h>
#include <pthread.h>

#include <boost/program_options.hpp>
#include <csignal>
#include <exception>
#include <iostream>

#include "commands/command.h"
#include "commands/read_file.h"
#include "server/host_server.h"
#include "settings/host_settings.h"

namespace limpetlever {

namespace {

namespace po = boost::program_options;

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

exit_code RunServe(const std::vector<std::string>& arguments) {
  po::options_description options("limpetlever serve: run the daemon of an entry host");
  options.add_options()("help", "print this text")("settings", po::value<std::string>()->required(),
                                                   "settings file, JSON with comments");
  po::variables_map values;
  po::store(po::command_line_parser(arguments).options(options).run(), values);
  if (values.count("help") > 0) {
    std::cout << options;
    return exit_code::success;
  }
  po::notify(values);
  const auto path = values["settings"].as<std::string>();
  const auto text = ReadFile(path);
  const auto settings = text ? ParseHostSettings(*text, path) : result<host_settings>(text.error());
  if (!settings) {
    std::cerr << "[103] " << settings.error().message << "\n";
    return exit_code::usage;
  }
  FLAGS_logtostderr = true;
  google::InitGoogleLogging("limpetlever");
  // Blocked before any thread is started, so that only sigwait below receives them.
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    host_server server(*settings);
    server.Start();
    int received = 0;
    sigwait(&signals, &received);
    server.Leave();
  } catch (const std::exception& error) {
    LOG(ERROR) << "[103] cannot serve: " << error.what();
    return exit_code::not_run;
  }
  return exit_code::success;
}

}  // namespace limpetlever
