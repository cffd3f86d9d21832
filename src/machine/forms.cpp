#include "machine/forms.h"

namespace robinhoist::machine {

using namespace std::chrono_literals;

Capacity read_capacity(settings::SexpReader form, const deployment::Deployment& deployment) {
  Capacity to;
  to.cores = form.integer("cores", 1, 1024, 2);
  to.slots = form.integer("slots", 1, 100000, 8 * to.cores);
  to.queue_capacity = form.integer("waiting-room", 0, 100000, 32 * to.cores);
  to.speed = form.number("speed", 0.01, 100, 1.0);
  to.contention = form.number("crowding", 0, 1, 0.0);
  form.finish();
  to.initial_warm_up_factor = deployment.initial_warm_up_factor;
  to.warm_up_time = deployment.warm_up_time;
  to.collapse_multiple = deployment.collapse_multiple;
  to.collapse_window = deployment.collapse_window;
  return to;
}

Build read_build(settings::SexpReader form, const deployment::Deployment& deployment) {
  Build to;
  auto number = settings::parse_number(form.positional(0, "a build number"));
  if (!number || *number < 1 || *number > 65535 || *number != static_cast<int>(*number))
    form.add_problem("its number is not a whole number from 1 to 65535");
  else
    to.number = static_cast<int>(*number);
  to.speed = form.number("speed", 0.1, 10, 1.0);
  if (auto bad = form.optional_child("bad")) {
    const std::string how = bad->positional(0, "the way in which it is bad");
    const std::pair<const char*, Flaw> ways[] = {
        {"errors", Flaw::errors}, {"slow", Flaw::slow}, {"product", Flaw::request_class},
        {"load", Flaw::load},     {"late", Flaw::late}, {"wrong", Flaw::wrong},
        {"shared", Flaw::shared}};
    for (auto& [name, flaw] : ways)
      if (how == name)
        to.flaw = flaw;
    if (to.flaw == Flaw::none)
      bad->add_problem(how + " is none of errors, slow, product, load, late, wrong, shared");
    const bool factor = to.flaw == Flaw::slow || to.flaw == Flaw::load || to.flaw == Flaw::late ||
                        to.flaw == Flaw::shared;
    to.severity = factor ? bad->number("times", 1, 100) : bad->number("share", 0, 1);
    if (to.flaw == Flaw::load || to.flaw == Flaw::late)
      to.failure_share = bad->number("failing", 0, 1, 0.1);
    if (to.flaw == Flaw::load)
      to.flaw_utilization = bad->number("busy", 0, 1);
    if (to.flaw == Flaw::late)
      to.flaw_delay = bad->duration("after", 0ms, 1h);
    if (to.flaw == Flaw::request_class) {
      to.request_class = deployment.request_class(bad->text("product"));
      if (to.request_class < 0)
        bad->add_problem("product", "is none of the deployment's");
    }
    bad->finish();
  }
  form.finish();
  return to;
}

}  // namespace robinhoist::machine
