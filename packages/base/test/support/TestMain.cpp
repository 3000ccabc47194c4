#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int aArgc, char** aArgv)
{
  // RapidCheck and protobuf keep objects for the lifetime of the process. The
  // leak detector would report these as leaks of the test that created them.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aArgc, aArgv);
}
