/// Derives the settings of the router from the configuration file and divides the process's
/// resources.
///
/// Descriptors are first reserved for the platform's services; clients and endpoints share the
/// others. Of the memory, one part is for what clients and endpoints make the proxy hold and one
/// for the endpoint list; the remainder is for the program itself.
#pragma once
#include "platform/config.h"
#include "proxy/router.h"

namespace robinhoist::platform {

proxy::RouterSettings router_settings(const Config& config);

}  // namespace robinhoist::platform
