// Runs one stand-in for a part of the platform as a process, for tests. Prints
// its address on one line.
#include <CLI/CLI.hpp>
#include <csignal>
#include <functional>
#include <iostream>
#include <string>

#include "waxwingfront/standins/executor.h"
#include "waxwingfront/standins/host_list.h"
#include "waxwingfront/standins/http_service.h"
#include "waxwingfront/standins/store.h"
#include "waxwingfront/standins/worker.h"

namespace waxwingfront::standins {
namespace {

// Serves until SIGTERM or SIGINT.
int Serve(const std::string& address,
          std::function<http_response(const http_call&)> handle) {
  sigset_t set{};
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  const http_service service(address, std::move(handle));
  std::cout << service.Address() << std::endl;
  int signal = 0;
  sigwait(&set, &signal);
  return 0;
}

int Run(int argc, char** argv) {
  CLI::App app("Stand-ins of the platform");
  app.require_subcommand(1);
  std::string address = "127.0.0.1:0";
  std::string id = "executor-1";
  int slots = 8;
  core::resources capacity{
      .processor_milli = 32000, .memory_mib = 128000, .accelerators = 0};
  std::int64_t ticket_ms = 6000;
  std::int64_t task_lease_ms = 20000;
  app.add_option("--address", address,
                 "IP:PORT to listen on; port 0 takes a free one");
  CLI::App& store_command =
      *app.add_subcommand("store", "Key-value service")->fallthrough();
  CLI::App& hosts_command =
      *app.add_subcommand("host-list", "Host list")->fallthrough();
  CLI::App& worker_command =
      *app.add_subcommand("worker", "Worker")->fallthrough();
  worker_command.add_option("--processor-milli", capacity.processor_milli);
  worker_command.add_option("--memory-mib", capacity.memory_mib);
  worker_command.add_option("--accelerators", capacity.accelerators);
  worker_command.add_option("--ticket-ms", ticket_ms);
  worker_command.add_option("--task-lease-ms", task_lease_ms);
  CLI::App& executor_command =
      *app.add_subcommand("executor", "Executor")->fallthrough();
  executor_command.add_option("--id", id);
  executor_command.add_option("--slots", slots);
  CLI11_PARSE(app, argc, argv);
  if (store_command.parsed()) {
    store state;
    return Serve(address, [&state](const http_call& call) {
      return state.Handle(call);
    });
  }
  if (hosts_command.parsed()) {
    host_list list;
    return Serve(address,
                 [&list](const http_call& call) { return list.Handle(call); });
  }
  if (worker_command.parsed()) {
    worker agent({.capacity = capacity,
                  .ticket = core::milliseconds(ticket_ms),
                  .task_lease = core::milliseconds(task_lease_ms)});
    return Serve(address, [&agent](const http_call& call) {
      return agent.Handle(call);
    });
  }
  executor runner(id, slots);
  if (!executor_command.parsed()) return 1;
  return Serve(address, [&runner](const http_call& call) {
    return runner.Handle(call);
  });
}

}  // namespace
}  // namespace waxwingfront::standins

int main(int argc, char** argv) {
  return waxwingfront::standins::Run(argc, argv);
}
