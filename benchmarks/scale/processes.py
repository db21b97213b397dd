"""The real processes of a scale run, and their figures."""

import asyncio
import os
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

import httpx
import yaml
from prometheus_client.parser import text_string_to_metric_families

from ..process_figures import open_descriptors, processor_seconds, resident_mb
from .layout import READINESS_PORT, Layout, control_ip, scheduler_ip

Samples = dict[tuple, float]


@dataclass
class RealProcess:
    """One process of the fleet."""

    role: str
    ip: str
    settings: Path
    metrics_url: str
    process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start it with its settings."""
        environment = {**os.environ, "MOLESPUR_SETTINGS": str(self.settings)}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "molespur", self.role, "--verbosity=-1", env=environment
        )

    async def end(self, number: signal.Signals) -> None:
        """End it by a signal and wait."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            await self.process.wait()

    @property
    def pid(self) -> int:
        """Its process id."""
        return self.process.pid

    async def samples(self, client: httpx.AsyncClient) -> Samples:
        """Its figures by name and labels."""
        text = (await client.get(self.metrics_url)).text
        return {
            (sample.name, *sorted(sample.labels.items())): sample.value
            for family in text_string_to_metric_families(text)
            for sample in family.samples
        }


@dataclass
class Reading:
    """What a process has used so far."""

    processor_s: float
    memory_mb: float
    descriptors: int
    samples: Samples

    def sent_since(self, earlier: "Reading", what: str) -> dict[str, float]:
        """Frames or bytes sent since, by kind of message."""
        name = f"molespur_rpc_sent_{what}_total"
        return {
            dict(key[1:])["kind"]: value - earlier.samples.get(key, 0.0)
            for key, value in self.samples.items()
            if key[0] == name
        }


@dataclass
class Fleet:
    """All real processes of a run."""

    layout: Layout
    folder: Path
    control: list[RealProcess] = field(default_factory=list)
    schedulers: list[RealProcess] = field(default_factory=list)

    async def start(self, schedulers: int) -> None:
        """Start the control plane, and schedulers after it."""
        for number in range(self.layout.control):
            ip = control_ip(number)
            settings = self.layout.settings(f"core-{number}", ip, number, self.folder)
            address = settings["Listen"]["ControlPlane"]
            self.control.append(self._made("control-plane", settings, f"http://{address}/api/metrics"))
        for number in range(schedulers):
            ip = scheduler_ip(number)
            settings = self.layout.settings(f"real-edge-{number}", ip, number)
            url = f"http://{ip}:{READINESS_PORT}/api/metrics"
            self.schedulers.append(self._made("data-plane", settings, url))
        for process in [*self.control, *self.schedulers]:
            await process.start()

    async def restart_control(self, process: RealProcess) -> None:
        """Start a control-plane process again, on the disk that it had."""
        settings = yaml.safe_load(process.settings.read_text())
        process.settings.write_text(yaml.safe_dump({**settings, "Bootstrap": False}))
        await process.start()

    async def stop(self) -> None:
        """End all."""
        await asyncio.gather(*(p.end(signal.SIGKILL) for p in [*self.schedulers, *self.control]))

    def _made(self, role: str, settings: dict, metrics_url: str) -> RealProcess:
        path = self.folder / f"{settings['NodeName']}.yaml"
        path.write_text(yaml.safe_dump(settings))
        return RealProcess(role, settings["Ip"], path, metrics_url)


async def read(processes: list[RealProcess]) -> list[Reading]:
    """What processes have used so far."""
    async with httpx.AsyncClient(trust_env=False, timeout=5.0) as client:
        texts = await asyncio.gather(*(process.samples(client) for process in processes))
    return [
        Reading(processor_seconds(p.pid), resident_mb(p.pid), open_descriptors(p.pid), samples)
        for p, samples in zip(processes, texts, strict=True)
    ]
