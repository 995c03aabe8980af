// A new file brings three further tenants with their Gearman functions. After SIGHUP, jobs of theirs come.
#include "rig.h"

using namespace rig;

int main(int argc, char** argv) {
  Begin(argc, argv);
  static Folder folder;
  static Runs runs;
  const int listen = FreePort(), admin = FreePort(), gearman = FreePort();
  constexpr int kWorkers = 4;
  static std::vector<std::unique_ptr<HttpWorker>> workers;
  std::vector<std::string> known;
  for (int i = 0; i < kWorkers; ++i) {
    const int port = FreePort();
    const std::string name = "s-" + std::to_string(i);
    workers.push_back(std::make_unique<HttpWorker>(name, port, 0.4, &runs));
    if (!workers.back()->listening()) End(kCannotRun, folder);
    known.push_back(Entry(name, port, i / 2));
  }
  Settings settings;
  const auto config = [&] {
    return "{\"name\":\"n1\",\"listen\":\"" + Address(listen) + "\",\"admin\":\"" + Address(admin) +
           "\",\"log_level\":\"info\",\"gearman\":" + settings.GearmanJson(gearman) + ",\"known\":" + List(known) +
           ",\"settings\":" + settings.Json() + "}";
  };
  const std::string file = folder.Write("config.json", config());
  Process node("n1", file, folder.path(), folder.path() + "/n1.log");
  if (!Until(10, [&] { return Call(admin, "GET", "/healthcheck") == 200; })) End(kCannotRun, folder);

  std::atomic<int> answered{0}, unanswered{0}, refused{0};
  const auto job = [&](const std::string& function, const std::string& name) {
    Gearman client(gearman);
    RECORD("submit function=%s job=%s", function.c_str(), name.c_str());
    if (!client.Send(kSubmitJob, {function, "u-" + name, name})) {
      unanswered += 1;
      return;
    }
    while (auto packet = client.Read(8)) {
      RECORD("answer job=%s packet=%u %s", name.c_str(), packet->type, packet->arguments.back().c_str());
      if (packet->type == kWorkComplete || packet->type == kWorkFail) return void(++answered);
      if (packet->type == kError) return void(++refused);
    }
    RECORD("no answer job=%s", name.c_str());
    unanswered += 1;
  };
  const std::vector<std::string> before = settings.tenants;
  for (const std::string& tenant : before) job("consulta-plan." + tenant, "first-" + tenant);
  if (answered < 1) End(kCannotRun, folder);

  // Charges of a tenant that was there all the time run while the configuration changes.
  std::atomic<bool> node_runs{true};
  std::thread running([&] {
    for (int i = 0; i < 12 && node_runs; ++i) job("cobro-envio.grano-sur", "steady-" + std::to_string(i));
  });
  Sleep(0.5);
  const std::vector<std::string> joining{"tostador-arica", "tostador-chiloe", "tostador-talca"};
  if (Trouble()) settings.tenants.insert(settings.tenants.end(), joining.begin(), joining.end());
  folder.Write("config.json", config());
  node.Signal(SIGHUP);
  Sleep(1.5);  // clients use what is new 1.2 s later
  std::string stats;
  Call(admin, "GET", "/stats", &stats);
  const std::size_t at = stats.find("app.config_reloads:");
  RECORD("%s", at == std::string::npos ? "no figures" : stats.substr(at, stats.find('\n', at) - at).c_str());
  for (int i = 0; i < 9 && node.Running(); ++i) {
    const std::string tenant = Trouble() ? joining[static_cast<std::size_t>(i) % joining.size()] : "cafe-cordillera";
    job("consulta-plan." + tenant, "new-" + std::to_string(i));
  }
  node_runs = node.Running();
  running.join();
  const bool crashed = !node.Running();
  RECORD("answered=%d refused=%d unanswered=%d node %s", answered.load(), refused.load(), unanswered.load(),
         crashed ? node.EndText().c_str() : "runs");
  End(crashed ? kBroken : kHeld, folder);
}
