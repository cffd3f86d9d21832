#include "machine/forms.h"

namespace robinhoist::machine {

using namespace std::chrono_literals;

Capacity read_capacity(settings::SexpReader form, const deployment::Deployment& deployment) {
  Capacity capacity;
  capacity.cores = form.integer("cores", 1, 1024, 2);
  capacity.slots = form.integer("slots", 1, 100000, 8 * capacity.cores);
  capacity.queue_capacity = form.integer("waiting-room", 0, 100000, 32 * capacity.cores);
  capacity.speed = form.number("speed", 0.01, 100, 1.0);
  capacity.contention = form.number("crowding", 0, 1, 0.0);
  form.finish();
  capacity.initial_warm_up_factor = deployment.initial_warm_up_factor;
  capacity.warm_up_time = deployment.warm_up_time;
  capacity.collapse_multiple = deployment.collapse_multiple;
  capacity.collapse_window = deployment.collapse_window;
  return capacity;
}

Build read_build(settings::SexpReader form, const deployment::Deployment& deployment) {
  Build build;
  auto number = settings::parse_number(form.positional(0, "a build number"));
  if (!number || *number < 1 || *number > 65535 || *number != static_cast<int>(*number))
    form.add_problem("its number is not a whole number from 1 to 65535");
  else
    build.number = static_cast<int>(*number);
  build.speed = form.number("speed", 0.1, 10, 1.0);
  if (auto flaw_form = form.optional_child("bad")) {
    const std::string kind = flaw_form->positional(0, "the way in which it is bad");
    const std::pair<const char*, Flaw> flaws[] = {
        {"errors", Flaw::errors}, {"slow", Flaw::slow}, {"product", Flaw::request_class},
        {"load", Flaw::load},     {"late", Flaw::late}, {"wrong", Flaw::wrong},
        {"shared", Flaw::shared}};
    for (auto& [name, flaw] : flaws)
      if (kind == name)
        build.flaw = flaw;
    if (build.flaw == Flaw::none)
      flaw_form->add_problem(kind + " is none of errors, slow, product, load, late, wrong, shared");
    const bool has_factor = build.flaw == Flaw::slow || build.flaw == Flaw::load ||
                            build.flaw == Flaw::late || build.flaw == Flaw::shared;
    build.severity =
        has_factor ? flaw_form->number("times", 1, 100) : flaw_form->number("share", 0, 1);
    if (build.flaw == Flaw::load || build.flaw == Flaw::late)
      build.failure_share = flaw_form->number("failing", 0, 1, 0.1);
    if (build.flaw == Flaw::load)
      build.flaw_utilization = flaw_form->number("busy", 0, 1);
    if (build.flaw == Flaw::late)
      build.flaw_delay = flaw_form->duration("after", 0ms, 1h);
    if (build.flaw == Flaw::request_class) {
      build.request_class = deployment.request_class_index(flaw_form->text("product"));
      if (build.request_class < 0)
        flaw_form->add_problem("product", "is none of the deployment's");
    }
    flaw_form->finish();
  }
  form.finish();
  return build;
}

}  // namespace robinhoist::machine
