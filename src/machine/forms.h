// Machines and builds as settings and days write them: the keys of a (capacity ...) and a (build N
// ...) form.
#pragma once
#include "deployment/deployment.h"
#include "machine/machine.h"

namespace robinhoist::machine {

Capacity read_capacity(settings::SexpReader form, const deployment::Deployment& deployment);
Build read_build(settings::SexpReader form, const deployment::Deployment& deployment);

}  // namespace robinhoist::machine
