/// Reads the (capacity ...) and (build N ...) forms of settings and scenarios.
#pragma once
#include "deployment/deployment.h"
#include "machine/machine.h"

namespace robinhoist::machine {

Capacity read_capacity(settings::SexpReader form, const deployment::Deployment& deployment);
Build read_build(settings::SexpReader form, const deployment::Deployment& deployment);

}  // namespace robinhoist::machine
