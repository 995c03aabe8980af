// A charge comes over Gearman, is made and answered. The process of the node is replaced as the pages say.
// The client sends the same charge again, under its unique id and within the window: is it made a second time?
#include "rig.h"

using namespace rig;

int main(int argc, char** argv) {
  Begin(argc, argv);
  static Folder folder;
  static Runs runs;
  const int listen = FreePort(), admin = FreePort(), second_admin = FreePort(), gearman = FreePort();
  const Settings settings;
  const auto config = [&](int admin_port) {
    return "{\"name\":\"n1\",\"listen\":\"" + Address(listen) + "\",\"admin\":\"" + Address(admin_port) +
           "\",\"log_level\":\"info\",\"gearman\":" + settings.GearmanJson(gearman) +
           ",\"known\":" + List({}) + ",\"settings\":" + settings.Json() + "}";
  };
  std::filesystem::create_directory(folder.path() + "/tmp");
  const auto start = [&](const std::string& name, int admin_port) {
    return std::make_unique<Process>(name, folder.Write(name + ".json", config(admin_port)), folder.path() + "/tmp",
                                     folder.path() + "/" + name + ".log");
  };
  const auto ready = [&](int admin_port, double timeout_s) {
    return Until(timeout_s, [&] { return Call(admin_port, "GET", "/healthcheck") == 200; });
  };
  std::unique_ptr<Process> old_process = start("old", admin), new_process;
  if (!ready(admin, 10)) End(kCannotRun, folder);
  const std::string function = "cobro-envio.grano-sur";
  static std::vector<std::unique_ptr<GearmanWorker>> workers;
  for (int i = 1; i <= 4; ++i) {
    workers.push_back(std::make_unique<GearmanWorker>("w" + std::to_string(i), gearman,
                                                      std::vector<std::string>{function}, 2.0, &runs));
  }
  Sleep(1);

  // The client submits a charge and waits for its result. Returns the last packet's type, 0 if none came.
  const auto charge = [&](const std::string& job, const char* which) -> std::uint32_t {
    Gearman client(gearman);
    client.Send(kSubmitJob, {function, "u-" + job, job});
    RECORD("%s submit job=%s unique=u-%s", which, job.c_str(), job.c_str());
    while (auto packet = client.Read(30)) {
      RECORD("%s answer job=%s packet=%u %s", which, job.c_str(), packet->type, packet->arguments.back().c_str());
      if (packet->type == kWorkComplete || packet->type == kWorkFail || packet->type == kError) return packet->type;
    }
    return 0;
  };
  constexpr int kCharges = 5;
  const double began_at = Now();
  std::vector<std::thread> clients;
  std::atomic<int> served{0};
  for (int i = 1; i <= kCharges; ++i) {
    clients.emplace_back([&, i] { served += charge("charge-" + std::to_string(i), "first") == kWorkComplete; });
    Sleep(0.3);
  }
  for (std::thread& client : clients) client.join();
  clients.clear();
  if (served < 1) End(kCannotRun, folder);

  if (Trouble()) {
    new_process = start("new", second_admin);
    if (!ready(second_admin, 6)) End(kCannotRun, folder);
    RECORD("the new process says yes");
    old_process->Signal(SIGTERM);
    if (!old_process->Wait(25.7)) old_process->Signal(SIGKILL);
    old_process->Wait(5);
  }
  Sleep(2);  // the workers are back

  std::atomic<int> served_again{0};
  for (int i = 1; i <= kCharges; ++i) {
    clients.emplace_back([&, i] { served_again += charge("charge-" + std::to_string(i), "again") == kWorkComplete; });
  }
  for (std::thread& client : clients) client.join();
  int twice = 0;
  for (int i = 1; i <= kCharges; ++i) {
    const std::string job = "charge-" + std::to_string(i);
    const auto of_job = runs.Of(job);
    if (of_job.size() < 2 || of_job[1].at - of_job[0].at >= settings.charge_window_s) continue;
    twice += 1;
    RECORD("TWICE job=%s at %s and, %.1f s later, at %s", job.c_str(), of_job[0].worker.c_str(),
           of_job[1].at - of_job[0].at, of_job[1].worker.c_str());
  }
  RECORD("served first=%d again=%d, charged twice=%d, all within %.1f s", served.load(), served_again.load(), twice,
         Now() - began_at);
  End(twice > 0 ? kBroken : served_again < 1 ? kCannotRun : kHeld, folder);
}
